"""Connecting with the real transport: failures, and cancellation of the connecting task."""

import asyncio
from unittest import mock

import pytest
from tornado.iostream import IOStream, StreamClosedError

from gorsethread.transport.base import Unreachable
from gorsethread.transport.real import RealTransport


async def start_connecting(result: "asyncio.Future[IOStream]") -> "asyncio.Task[object]":
    """Starts a task that connects; the connection succeeds or fails as the future does."""
    with mock.patch.object(IOStream, "connect", lambda stream, address: result):
        task = asyncio.ensure_future(RealTransport().connect("127.0.0.1", 9, 5.0))
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
    return task


def test_a_cancellation_at_the_moment_of_a_refusal_is_not_lost() -> None:
    async def run() -> None:
        result: asyncio.Future[IOStream] = asyncio.get_running_loop().create_future()
        task = await start_connecting(result)
        result.set_exception(StreamClosedError())
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())


def test_a_refused_connection_raises_unreachable() -> None:
    async def run() -> None:
        result: asyncio.Future[IOStream] = asyncio.get_running_loop().create_future()
        task = await start_connecting(result)
        result.set_exception(StreamClosedError())
        with pytest.raises(Unreachable):
            await task

    asyncio.run(run())


def test_a_connection_that_times_out_raises_unreachable() -> None:
    async def run() -> None:
        result: asyncio.Future[IOStream] = asyncio.get_running_loop().create_future()
        with (
            mock.patch.object(IOStream, "connect", lambda stream, address: result),
            pytest.raises(Unreachable, match="no answer in time"),
        ):
            await RealTransport().connect("127.0.0.1", 9, 0.01)
        assert result.cancelled()

    asyncio.run(run())
