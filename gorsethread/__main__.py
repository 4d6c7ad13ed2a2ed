"""The command line as a module: ``python -m gorsethread``."""

from gorsethread.cli.main import app

app(prog_name="gorsethread")
