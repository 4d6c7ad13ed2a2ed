"""The program as the platform starts it: configuration, start and shutdown of a real process."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

from gorsethread.http_gateway.addresses import UnusableConfigurationError
from gorsethread.http_gateway.configuration import read_configuration
from gorsethread.transport.real import free_ports
from tests.live import SETTINGS, make_config


class Configuration(unittest.TestCase):
    def test_an_error_names_the_field_that_is_missing_or_invalid(self) -> None:
        for changes, field in (
            ({"listen": "here"}, "listen"),
            ({"limits": {}}, "limits.sockets"),
            ({"limits": {"sockets": 256, "memory_mb": 0}}, "limits.memory_mb"),
            ({"limits": {"sockets": 256, "memory_mb": float("inf")}}, "limits.memory_mb"),
            ({"seed": "xyz"}, "seed"),
            ({"settings": 3}, "settings"),
            ({"settings": {**SETTINGS, "services": []}}, "settings"),
            ({"settings": {k: v for k, v in SETTINGS.items() if k != "grades"}}, "grades"),
            ({"known": {"generation": "x"}}, "known"),
            ({"discovery": "a:99999"}, "discovery"),
            ({"settings": {**SETTINGS, "specifics": []}}, "settings"),
            (
                {"settings": {**SETTINGS, "services": [{**SETTINGS["services"][0], "aim": "soon"}]}},
                "latency_objective",
            ),
            (
                {"settings": {**SETTINGS, "contract": {**SETTINGS["contract"], "fall": float("nan")}}},
                "window",
            ),
            ({"settings": {**SETTINGS, "grades": [{"name": "plain", "neverOver": [9]}]}}, "limit"),
        ):
            with self.subTest(changes=changes), self.assertRaises(UnusableConfigurationError) as caught:
                read_configuration(json.dumps(make_config(**changes)).encode(), "the/place")
            self.assertIn("the/place", str(caught.exception))
            self.assertIn(field, str(caught.exception))
        self.assertEqual(
            ("head", 1), read_configuration(json.dumps(make_config(unknown=1)).encode(), "p").listen
        )

    def test_an_unusable_configuration_gives_one_line_of_error_and_exit_status_2(self) -> None:
        for env in ({}, {"GW_CONFIG": "/nowhere/config.json"}):
            done = subprocess.run(
                [sys.executable, "-m", "gorsethread.http_gateway"],
                env=env,
                text=True,
                capture_output=True,
                timeout=30,
            )
            self.assertEqual((2, 1), (done.returncode, done.stderr.count("\n")), done.stderr)

    def test_the_program_imports_no_modules_that_it_does_not_use(self) -> None:
        code = (
            "import sys, gorsethread.http_gateway.__main__ as m; print(*sorted(n for n in sys.modules if "
            "n.split('.')[0] in ('typer', 'numpy', 'matplotlib', 'google') or n.startswith(("
            "'gorsethread.nvme', 'gorsethread.nvme_transport', 'gorsethread.site_config', "
            "'gorsethread.latency_attribution', 'gorsethread.experiments', 'gorsethread.cli'))))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
        self.assertEqual("\n", done.stdout, done.stderr)


# Runs the program with an audit hook that reports what the platform's filter refuses and names that need DNS.
AUDITED_PROGRAM = """
import ipaddress, runpy, sys

def audit(event, arguments):
    refused = event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.system", "os.exec",
                      "pty.spawn", "socket.gethostbyname", "socket.gethostbyaddr", "ctypes.dlopen")
    if event == "socket.getaddrinfo":
        try:
            ipaddress.ip_address(arguments[0])
        except ValueError:
            refused = True
    if event in ("socket.bind", "socket.connect"):
        refused = not isinstance(arguments[1], tuple)
    if refused:
        print("REFUSED", event, arguments, file=sys.stderr, flush=True)

sys.addaudithook(audit)
PRELUDE
runpy.run_module("gorsethread.http_gateway", run_name="__main__")
"""


class RunningProgram(unittest.TestCase):
    """The real program as the platform starts it, on loopback."""

    def program(self, listen: str, prelude: str = "") -> "subprocess.Popen[str]":
        folder = self.enterContext(tempfile.TemporaryDirectory())
        settings = {**SETTINGS, "services": [{**s, "giveUp": 0.2} for s in SETTINGS["services"]]}
        no_backends: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}
        with open(f"{folder}/config.json", "w") as file:
            json.dump(
                make_config(listen=listen, discovery="127.0.0.1:9", settings=settings, known=no_backends),
                file,
            )
        process = self.enterContext(
            subprocess.Popen(
                [sys.executable, "-c", AUDITED_PROGRAM.replace("PRELUDE", prelude)],
                stderr=subprocess.PIPE,
                text=True,
                env={"GW_CONFIG": f"{folder}/config.json"},
            )
        )
        self.addCleanup(process.kill)
        return process

    def test_it_serves_reloads_and_shuts_down(self) -> None:
        port = free_ports(1)[0]
        program = self.program(f"127.0.0.1:{port}")
        assert program.stderr is not None
        first = next(line for line in program.stderr if "gateway serves" in line)
        self.assertIn(str(port), first)
        with socket.create_connection(("127.0.0.1", port), 5) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertTrue(client.recv(1000).startswith(b"HTTP/1.1 200 "))
            program.send_signal(signal.SIGHUP)
            next(line for line in program.stderr if "configuration read again" in line)
            client.sendall(b"nonsense\r\n\r\n")
            self.assertTrue(client.recv(1000).startswith(b"HTTP/1.1 400 "))
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        output = program.stderr.read()
        self.assertIn("gateway ended", output)
        self.assertNotIn("REFUSED", output)
        self.assertEqual(0, program.wait(10))

    def test_the_audit_hook_reports_what_the_platform_refuses(self) -> None:
        prelude = (
            'import os, socket; os.system("true"); socket.socket(socket.AF_UNIX).bind("\\0x"); ' "sys.exit()"
        )
        program = self.program("127.0.0.1:1", prelude)
        output = program.communicate(timeout=20)[1]
        self.assertIn("REFUSED os.system", output)
        self.assertIn("REFUSED socket.bind", output)

    def test_the_run_command_replaces_the_shell_and_the_listed_files_exist(self) -> None:
        deploy = tomllib.loads((Path(__file__).parents[2] / "deploy" / "balancer.toml").read_text())
        self.assertRegex(deploy["run"], r"^exec [^;&|<>$`]+$")
        self.assertEqual(
            [],
            [
                path
                for path in deploy["policy"] + deploy["node"]
                if not Path(__file__).parents[2].joinpath(path).exists()
            ],
        )

    def test_an_address_in_use_gives_one_line_of_error_and_exit_status_2(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            program = self.program(f"127.0.0.1:{taken.getsockname()[1]}")
            output = program.communicate(timeout=20)[1]
        self.assertEqual((2, 1), (program.returncode, output.count("\n")), output)
        self.assertIn("listen", output)
