"""The HTTP codec: traces of both sides, what is refused, and any cutting of the bytes giving the same."""

import contextlib
import unittest

import h11
from hypothesis import given
from hypothesis import strategies as st

from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import (
    READ_AHEAD_BYTES_MAX,
    REQUEST_BODY_BYTES_MAX,
    InvalidRequestError,
    InvalidResponseError,
)
from gorsethread.http1.server_codec import Request, ServerCodec, closing_response

PUT = (
    b"PUT /checkout/7f3a9c21e0b4d655?x=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
GET = b"GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOther-Hosts: 3\r\n\r\ndata"


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({c % (len(data) + 1) for c in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False) if a < b]


CUTS = st.lists(st.integers(0, 10_000), max_size=12)


class ServingSide(unittest.TestCase):
    def read(self, data: bytes) -> Request:
        codec = ServerCodec()
        codec.feed(data)
        request = codec.next_request()
        assert request is not None
        return request

    def refused(self, data: bytes, status: int) -> None:
        codec = ServerCodec()
        with self.assertRaises(InvalidRequestError) as caught:
            codec.feed(data)
            self.assertIsNone(codec.next_request())
        self.assertEqual(status, caught.exception.status, caught.exception)

    @given(CUTS)
    def test_requests_are_the_same_however_their_bytes_are_cut(self, cuts: list[int]) -> None:
        codec, found = ServerCodec(), []
        for piece in pieces(PUT + GET + PUT, cuts):
            codec.feed(piece)
            while (request := codec.next_request()) is not None:
                found.append((request.method, request.target, request.body))
                said, goes_on = codec.respond(200, [], b"ok")
                self.assertTrue(goes_on)
                self.assertTrue(said.startswith(b"HTTP/1.1 200 OK\r\n") and said.endswith(b"\r\n\r\nok"))
        put = (b"PUT", b"/checkout/7f3a9c21e0b4d655?x=1", b"hello")
        get = (b"GET", b"/read/7f3a9c21e0b4d655", b"")
        self.assertEqual([put, get, put], found)

    def test_what_is_sent_ahead_waits_its_turn_and_is_bounded(self) -> None:
        codec = ServerCodec()
        codec.feed(PUT + GET)
        self.assertIsNotNone(codec.next_request())
        self.assertIsNone(codec.next_request(), "the first is open")
        codec.feed(PUT)
        with self.assertRaises(InvalidRequestError):
            codec.feed(b"x" * READ_AHEAD_BYTES_MAX)

    def test_lengths_that_can_be_read_in_two_ways(self) -> None:
        line = b"PUT /a/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\n"
        for lengths in (
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            b"Content-Length: 5\r\nContent-Length: 5\r\n",
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Content-Length: 5, 5\r\n",
            b"Content-Length: -5\r\n",
            b"Content-Length: +5\r\n",
            b"Content-Length: 5x\r\n",
            b"Content-Length: 99999999999999999999999\r\n",
        ):
            with self.subTest(lengths=lengths):
                self.refused(line + lengths + b"\r\nhello", 400)

    def test_a_body_over_the_bound_is_refused_by_its_length_alone(self) -> None:
        self.refused(b"PUT /a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n", 413)
        chunk = b"%x\r\n%s\r\n" % (REQUEST_BODY_BYTES_MAX // 2, b"x" * (REQUEST_BODY_BYTES_MAX // 2))
        self.refused(b"PUT /a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 3, 413)

    def test_noise_and_heads_without_end(self) -> None:
        self.refused(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400)
        self.refused(b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40_000, 431)
        self.refused(b"GET /a HTTP/1.0\r\n\r\n", 505)
        self.refused(b"GET /a HTTP/1.1\r\n\r\n", 400)

    def test_other_protocols(self) -> None:
        self.refused(b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501)
        self.refused(b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 501)

    def test_a_closing_response_is_one(self) -> None:
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        client.send(h11.EndOfMessage())
        client.receive_data(closing_response(413))
        answer = client.next_event()
        assert isinstance(answer, h11.Response)
        self.assertEqual(413, answer.status_code)

    @given(st.binary(max_size=300))
    def test_any_bytes_give_a_request_nothing_or_unreadable(self, data: bytes) -> None:
        codec = ServerCodec()
        try:
            codec.feed(data)
            codec.next_request()
        except InvalidRequestError as error:
            self.assertTrue(400 <= error.status < 600)


class AskingSide(unittest.TestCase):
    def asked(self) -> ClientCodec:
        asking = ClientCodec()
        said = asking.request(b"PUT", b"/a/b", [(b"host", b"s")], b"hello")
        self.assertTrue(said.startswith(b"PUT /a/b HTTP/1.1\r\n") and said.endswith(b"\r\n\r\nhello"), said)
        return asking

    def spoilt(self, data: bytes) -> None:
        with self.assertRaises(InvalidResponseError):
            asking = self.asked()
            for piece in pieces(data, list(range(0, len(data), 4096))):
                self.assertIsNone(asking.feed(piece))

    @given(CUTS)
    def test_answers_are_the_same_however_their_bytes_are_cut(self, cuts: list[int]) -> None:
        asking = self.asked()
        found: list[Response] = []
        for piece in pieces(b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" * 2 + ANSWER, cuts):
            if (answer := asking.feed(piece)) is not None:
                found.append(answer)
        self.assertEqual([(200, b"data", False)], [(a.status, a.body, a.closes_connection) for a in found])
        self.assertEqual(b"3", found[0].header(b"other-hosts"))
        asking.request(b"GET", b"/a/b", [(b"host", b"s")], b"")  # the connection goes on
        self.assertIsNotNone(asking.feed(ANSWER))

    def test_a_good_answer_with_more_behind_it_stands_and_ends_the_connection(self) -> None:
        for more in (ANSWER, b"\0\1\2", b"H"):
            answer = self.asked().feed(ANSWER + more)
            assert answer is not None
            self.assertEqual((b"data", True), (answer.body, answer.closes_connection))

    def test_an_answer_of_hundreds_of_kilobytes_is_whole(self) -> None:
        body, asking = bytes(range(256)) * 1600, self.asked()
        found = [
            a
            for piece in pieces(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body,
                list(range(0, 400_000, 65_536)),
            )
            if (a := asking.feed(piece))
        ]
        self.assertEqual([body], [a.body for a in found])

    def test_bytes_that_nobody_asked_for(self) -> None:
        asking = self.asked()
        self.assertIsNotNone(asking.feed(ANSWER))
        with self.assertRaises(InvalidResponseError):
            asking.feed(b"H")

    def test_answers_that_are_none(self) -> None:
        for data in (
            b"\xff\xfe noise \r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 2_200_000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nxx",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff0\r\n" + b"x" * 2_200_000,
            b"HTTP/1.1 102 Processing\r\n\r\n" * 20,
        ):
            with self.subTest(data=data[:60]):
                self.spoilt(data)

    def test_an_answer_without_a_length_is_whole_by_the_end_of_its_connection_alone(self) -> None:
        asking = self.asked()
        self.assertIsNone(asking.feed(b"HTTP/1.1 200 OK\r\n\r\nto the"))
        self.assertIsNone(asking.feed(b" end"))
        answer = asking.connection_ended()
        assert answer is not None
        self.assertEqual((200, b"to the end", True), (answer.status, answer.body, answer.closes_connection))

    def test_the_end_of_a_connection_makes_no_other_answer_whole(self) -> None:
        for data in (
            b"",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ):
            with self.subTest(data=data):
                asking = self.asked()
                if data:
                    self.assertIsNone(asking.feed(data))
                self.assertIsNone(asking.connection_ended())

    @given(st.binary(max_size=300))
    def test_any_bytes_give_an_answer_nothing_or_spoilt(self, data: bytes) -> None:
        with contextlib.suppress(InvalidResponseError):
            self.asked().feed(data)
