"""Tests of the daemon as a process: signals and invalid settings."""

import asyncio
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec

from seampond.gateway.tests.test_gateway import build_settings
from seampond.testing.store import run_store

_TEMPLATE = """[gateway]
name = "g1"
zone = "a"
linger_ms = 50
listen = "{listen}"
ready_listen = "{ready_listen}"
metrics_listen = "{metrics_listen}"
peer_listen = "{peer_listen}"
[gateway.store]
address = "{store}"
[gateway.bounds]
revoke_ms = {revoke_ms}
"""


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """One process with a stand-in for the store."""

    async def test_reload_and_stop(self) -> None:
        """SIGHUP reloads, or keeps the old settings; SIGTERM stops."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'gateway.toml'
            async with self._started(path) as process:
                self._write(path, '4000')
                process.send_signal(signal.SIGHUP)
                line = await self._line_with(process, 'settings reloaded')
                self.assertIn('bounds.revoke_ms', line)
                self._write(path, '"soon"')
                process.send_signal(signal.SIGHUP)
                line = await self._line_with(process, 'settings not reloaded')
                self.assertIn('revoke_ms', line)
                process.send_signal(signal.SIGTERM)
                await self._line_with(process, '"stopped"')
                self.assertEqual(await process.wait(), 0)

    async def test_start_with_invalid_settings(self) -> None:
        """Exit status 2 and a message with the key, no traceback."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'gateway.toml'
            path.write_text('[gateway]\nname = "g"\nzones = "a"\n')
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'seampond.gateway',
                str(path),
                stderr=asyncio.subprocess.PIPE,
            )
            _, stderr = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn(b'zones: unknown key', stderr)
        self.assertNotIn(b'Traceback', stderr)

    def _write(self, path: Path, revoke_ms: str) -> None:
        path.write_text(
            _TEMPLATE.format(
                **msgspec.to_builtins(self.settings)
                | {'store': self.settings.store.address},
                revoke_ms=revoke_ms,
            )
        )

    @asynccontextmanager
    async def _started(
        self, path: Path
    ) -> AsyncIterator[asyncio.subprocess.Process]:
        async with run_store() as store:
            self.settings = build_settings(store.address)
            self._write(path, '5000')
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'seampond.gateway',
                str(path),
                stdout=asyncio.subprocess.PIPE,
            )
            await self._line_with(process, '"ready"')
            yield process
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def _line_with(
        self, process: asyncio.subprocess.Process, text: str
    ) -> str:
        assert process.stdout is not None
        async with asyncio.timeout(60):
            while True:
                line = (await process.stdout.readline()).decode()
                if text in line:
                    return line
                self.assertTrue(line, f'ended before {text}')
