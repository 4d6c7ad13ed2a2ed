"""A connection that is being made by the real transport: its task can always be cancelled."""

import asyncio
from unittest import mock

import pytest
from tornado.iostream import IOStream, StreamClosedError

from gorsethread.transport.base import Unreachable
from gorsethread.transport.real import RealTransport


async def connecting(answer: "asyncio.Future[IOStream]") -> "asyncio.Task[object]":
    """A task that waits for a connection, which comes up or fails as the answer does."""
    with mock.patch.object(IOStream, "connect", lambda stream, address: answer):
        task = asyncio.ensure_future(RealTransport().connect("127.0.0.1", 9, 5.0))
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
    return task


def test_a_cancellation_that_comes_with_the_refusal_is_not_lost() -> None:
    async def play() -> None:
        answer: asyncio.Future[IOStream] = asyncio.get_running_loop().create_future()
        task = await connecting(answer)
        answer.set_exception(StreamClosedError())
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(play())


def test_a_refusal_alone_is_unreachable() -> None:
    async def play() -> None:
        answer: asyncio.Future[IOStream] = asyncio.get_running_loop().create_future()
        task = await connecting(answer)
        answer.set_exception(StreamClosedError())
        with pytest.raises(Unreachable):
            await task

    asyncio.run(play())


def test_no_answer_in_time_is_unreachable() -> None:
    async def play() -> None:
        answer: asyncio.Future[IOStream] = asyncio.get_running_loop().create_future()
        with (
            mock.patch.object(IOStream, "connect", lambda stream, address: answer),
            pytest.raises(Unreachable, match="no answer in time"),
        ):
            await RealTransport().connect("127.0.0.1", 9, 0.01)
        assert answer.cancelled()

    asyncio.run(play())
