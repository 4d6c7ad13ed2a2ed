"""python -m gorsethread"""

from gorsethread.cli.main import app

app(prog_name="gorsethread")
