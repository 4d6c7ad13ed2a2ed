"""The HTTP codec: valid and invalid messages of both sides, split into pieces at any position."""

import contextlib
import time
import unittest
from collections.abc import Callable

import h11
from hypothesis import given
from hypothesis import strategies as st

from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import (
    HEADER_SECTION_BYTES_MAX,
    READ_AHEAD_BYTES_MAX,
    REQUEST_BODY_BYTES_MAX,
    REQUEST_CHUNKS_MAX,
    RESPONSE_CHUNKS_MAX,
    InvalidRequestError,
    InvalidResponseError,
)
from gorsethread.http1.server_codec import Request, ServerCodec, closing_response

PUT = (
    b"PUT /checkout/7f3a9c21e0b4d655?x=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
GET = b"GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOther-Hosts: 3\r\n\r\ndata"


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    positions = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[start:end] for start, end in zip(positions, positions[1:], strict=False) if start < end]


SIZES_APART = 8  # the factor between the two sizes of which the growth of work is measured
# Work in proportion to the bytes grows by SIZES_APART, work with their square by its square.
GROWTH_MAX = 3 * SIZES_APART


def growth(work: Callable[[int], None], size: int) -> float:
    """Returns how many times as long work(SIZES_APART * size) takes as work(size), each at its fastest."""

    def fastest(of_size: int) -> float:
        taken = []
        for _ in range(5):
            began = time.process_time()
            work(of_size)
            taken.append(time.process_time() - began)
        return min(taken)

    return fastest(SIZES_APART * size) / max(fastest(size), 1e-6)


CUT_POSITIONS = st.lists(st.integers(0, 10_000), max_size=12)


class ServerSide(unittest.TestCase):
    def read(self, data: bytes) -> Request:
        codec = ServerCodec()
        codec.feed(data)
        request = codec.next_request()
        assert request is not None
        return request

    def assert_refused(self, data: bytes, status: int) -> None:
        codec = ServerCodec()
        with self.assertRaises(InvalidRequestError) as caught:
            codec.feed(data)
            self.assertIsNone(codec.next_request())
        self.assertEqual(status, caught.exception.status, caught.exception)

    @given(CUT_POSITIONS)
    def test_requests_are_decoded_wherever_their_bytes_are_split(self, cuts: list[int]) -> None:
        codec, found = ServerCodec(), []
        for piece in split(PUT + GET + PUT, cuts):
            codec.feed(piece)
            while (request := codec.next_request()) is not None:
                found.append((request.method, request.target, request.body))
                response, keeps_alive = codec.respond(200, [], b"ok")
                self.assertTrue(keeps_alive)
                self.assertTrue(
                    response.startswith(b"HTTP/1.1 200 OK\r\n") and response.endswith(b"\r\n\r\nok")
                )
        put = (b"PUT", b"/checkout/7f3a9c21e0b4d655?x=1", b"hello")
        get = (b"GET", b"/read/7f3a9c21e0b4d655", b"")
        self.assertEqual([put, get, put], found)

    def test_bytes_behind_an_open_request_wait_and_are_bounded(self) -> None:
        codec = ServerCodec()
        codec.feed(PUT + GET)
        self.assertIsNotNone(codec.next_request())
        self.assertIsNone(codec.next_request(), "the first request is open")
        codec.feed(PUT)
        with self.assertRaises(InvalidRequestError):
            codec.feed(b"x" * READ_AHEAD_BYTES_MAX)

    def test_invalid_and_ambiguous_lengths_are_refused(self) -> None:
        start = b"PUT /a/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\n"
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
                self.assert_refused(start + lengths + b"\r\nhello", 400)

    def test_the_work_on_a_length_grows_with_its_bytes_and_not_with_their_square(self) -> None:
        # Guards against one bad length that holds the gateway up, so that other clients get no answer.
        start = b"PUT /a/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\n"

        for line in (b"Content-Length: 5%s,5", b"Content-Length:%s5 5", b"Content-Length%s: 5", b"X: 5%s,5"):
            for blank in (b" ", b"\t"):

                def refuse(size: int, line: bytes = line, blank: bytes = blank) -> None:
                    codec = ServerCodec()
                    codec.feed(start + line % (blank * size) + b"\r\n\r\nhello")
                    with contextlib.suppress(InvalidRequestError):
                        codec.next_request()

                with self.subTest(line=line, blank=blank):
                    self.assertLess(growth(refuse, 1_900), GROWTH_MAX)

    def test_a_body_over_the_bound_is_refused_before_it_is_complete(self) -> None:
        self.assert_refused(b"PUT /a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n", 413)
        chunk = b"%x\r\n%s\r\n" % (REQUEST_BODY_BYTES_MAX // 2, b"x" * (REQUEST_BODY_BYTES_MAX // 2))
        self.assert_refused(
            b"PUT /a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 3, 413
        )

    def test_noise_endless_headers_and_other_versions_are_refused(self) -> None:
        self.assert_refused(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400)
        self.assert_refused(b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40_000, 431)
        self.assert_refused(b"GET /a HTTP/1.0\r\n\r\n", 505)
        self.assert_refused(b"GET /a HTTP/1.1\r\n\r\n", 400)

    def test_a_header_section_over_the_bound_is_refused_however_it_arrives(self) -> None:
        # Guards against a header section over the bound that is worked on because it came whole.
        start = b"GET /a HTTP/1.1\r\nHost: a\r\nX: "
        for end in (b"\r\n\r\n", b"\n\n", b"\n\r\n"):
            within = start + b"y" * (HEADER_SECTION_BYTES_MAX - len(start) - len(end)) + end
            over = start + b"y" * (HEADER_SECTION_BYTES_MAX - len(start) - len(end) + 1) + end
            for piece_size in (1, 4096, 65_536):
                with self.subTest(end=end, piece_size=piece_size):
                    self.assertIsNotNone(self.feed_in_pieces(ServerCodec(), within + GET, piece_size))
                    with self.assertRaises(InvalidRequestError) as caught:
                        self.feed_in_pieces(ServerCodec(), over + GET, piece_size)
                    self.assertEqual(431, caught.exception.status)

    def test_a_header_section_over_the_bound_behind_another_request_is_refused(self) -> None:
        codec = ServerCodec()
        over = b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"y" * HEADER_SECTION_BYTES_MAX + b"\r\n\r\n"
        self.assertIsNotNone(self.feed_in_pieces(codec, GET + over, 65_536))
        codec.respond(200, [], b"")
        with self.assertRaises(InvalidRequestError) as caught:
            codec.next_request()
        self.assertEqual(431, caught.exception.status)

    def test_a_length_in_a_body_is_no_second_length(self) -> None:
        body = b"\ncontent-length: 9\r\n"
        request = self.read(b"PUT /a HTTP/1.1\nHost: a\nContent-Length: %d\n\n%s" % (len(body), body))
        self.assertEqual(body, request.body)

    def feed_in_pieces(self, codec: ServerCodec, data: bytes, piece_size: int) -> Request | None:
        """Returns the first request found in the bytes, fed in pieces of that size."""
        for begin in range(0, len(data), piece_size):
            codec.feed(data[begin : begin + piece_size])
            if (request := codec.next_request()) is not None:
                return request
        return None

    def test_a_body_of_too_many_chunks_is_refused_before_it_is_complete(self) -> None:
        # Guards against a body within its bound whose chunks cost a second of work.
        start = b"PUT /a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        codec = ServerCodec()
        for _ in range(2):  # the count begins anew with each request
            codec.feed(start + b"1\r\nx\r\n" * REQUEST_CHUNKS_MAX + b"0\r\n\r\n")
            request = codec.next_request()
            assert request is not None
            self.assertEqual(b"x" * REQUEST_CHUNKS_MAX, request.body)
            codec.respond(200, [], b"")
        self.assert_refused(start + b"1\r\nx\r\n" * (REQUEST_CHUNKS_MAX + 1), 413)

    def test_a_chunk_that_arrives_in_many_pieces_counts_once(self) -> None:
        codec = ServerCodec()
        codec.feed(b"PUT /a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        size = REQUEST_CHUNKS_MAX + 1
        request = self.feed_in_pieces(codec, b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size), 1)
        assert request is not None
        self.assertEqual(size, len(request.body))

    def test_other_protocols_are_refused(self) -> None:
        self.assert_refused(b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501)
        self.assert_refused(b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 501)

    def test_a_closing_response_is_a_valid_response(self) -> None:
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        client.send(h11.EndOfMessage())
        client.receive_data(closing_response(413))
        response = client.next_event()
        assert isinstance(response, h11.Response)
        self.assertEqual(413, response.status_code)

    @given(st.binary(max_size=300))
    def test_any_bytes_give_a_request_nothing_or_an_invalid_request_error(self, data: bytes) -> None:
        codec = ServerCodec()
        try:
            codec.feed(data)
            codec.next_request()
        except InvalidRequestError as error:
            self.assertTrue(400 <= error.status < 600)


class ClientSide(unittest.TestCase):
    def codec_with_open_request(self) -> ClientCodec:
        codec = ClientCodec()
        request = codec.request(b"PUT", b"/a/b", [(b"host", b"s")], b"hello")
        self.assertTrue(
            request.startswith(b"PUT /a/b HTTP/1.1\r\n") and request.endswith(b"\r\n\r\nhello"), request
        )
        return codec

    def assert_invalid(self, data: bytes) -> None:
        with self.assertRaises(InvalidResponseError):
            codec = self.codec_with_open_request()
            for piece in split(data, list(range(0, len(data), 4096))):
                self.assertIsNone(codec.feed(piece))

    @given(CUT_POSITIONS)
    def test_responses_are_decoded_wherever_their_bytes_are_split(self, cuts: list[int]) -> None:
        codec = self.codec_with_open_request()
        found: list[Response] = []
        for piece in split(b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" * 2 + RESPONSE, cuts):
            if (response := codec.feed(piece)) is not None:
                found.append(response)
        self.assertEqual([(200, b"data", False)], [(a.status, a.body, a.closes_connection) for a in found])
        self.assertEqual(b"3", found[0].header(b"other-hosts"))
        codec.request(b"GET", b"/a/b", [(b"host", b"s")], b"")  # the connection can be reused
        self.assertIsNotNone(codec.feed(RESPONSE))

    def test_a_response_that_is_repeated_behind_itself_is_valid_and_closes_the_connection(self) -> None:
        for more in (RESPONSE, RESPONSE[:-1], RESPONSE[: RESPONSE.index(b"\r\n\r\n") + 4]):
            response = self.codec_with_open_request().feed(RESPONSE + more)
            assert response is not None
            self.assertEqual((b"data", True), (response.body, response.closes_connection))

    def test_other_bytes_behind_a_response_may_be_the_rest_of_its_body_and_make_it_invalid(self) -> None:
        # Guards against an answer cut by a length that is too small being served as complete.
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n"
        stored_response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata"
        for data in (
            RESPONSE + b"\0\1\2",
            RESPONSE + b"H",
            RESPONSE + b"\r\n",
            RESPONSE + RESPONSE[:20],
            RESPONSE + stored_response,
            RESPONSE + RESPONSE.replace(b"data", b"date"),
            RESPONSE + RESPONSE + b"z",
            RESPONSE + RESPONSE.replace(b"200", b"500"),
            chunked + b"rest",
            chunked + stored_response,
        ):
            with self.subTest(data=data):
                self.assert_invalid(data)

    def test_a_response_of_hundreds_of_kilobytes_is_complete(self) -> None:
        body, codec = bytes(range(256)) * 1600, self.codec_with_open_request()
        found = [
            a
            for piece in split(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body,
                list(range(0, 400_000, 65_536)),
            )
            if (a := codec.feed(piece))
        ]
        self.assertEqual([body], [a.body for a in found])

    def test_bytes_without_an_open_request_are_invalid(self) -> None:
        codec = self.codec_with_open_request()
        self.assertIsNotNone(codec.feed(RESPONSE))
        with self.assertRaises(InvalidResponseError):
            codec.feed(b"H")

    def test_invalid_responses_are_rejected(self) -> None:
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
                self.assert_invalid(data)

    def test_a_response_of_too_many_chunks_is_invalid(self) -> None:
        # Guards against an answer within its bound whose chunks cost seconds of work.
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        codec = self.codec_with_open_request()
        for _ in range(2):  # the count begins anew with each response
            response = codec.feed(start + b"1\r\nx\r\n" * RESPONSE_CHUNKS_MAX + b"0\r\n\r\n")
            assert response is not None
            self.assertEqual(b"x" * RESPONSE_CHUNKS_MAX, response.body)
            codec.request(b"GET", b"/a/b", [(b"host", b"s")], b"")
        with self.assertRaises(InvalidResponseError):
            codec.feed(start + b"1\r\nx\r\n" * (RESPONSE_CHUNKS_MAX + 1))

    def test_a_response_without_a_length_is_complete_only_at_the_end_of_its_connection(self) -> None:
        codec = self.codec_with_open_request()
        self.assertIsNone(codec.feed(b"HTTP/1.1 200 OK\r\n\r\nto the"))
        self.assertIsNone(codec.feed(b" end"))
        response = codec.connection_ended()
        assert response is not None
        self.assertEqual(
            (200, b"to the end", True), (response.status, response.body, response.closes_connection)
        )

    def test_the_end_of_a_connection_completes_no_other_response(self) -> None:
        for data in (
            b"",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ):
            with self.subTest(data=data):
                codec = self.codec_with_open_request()
                if data:
                    self.assertIsNone(codec.feed(data))
                self.assertIsNone(codec.connection_ended())

    @given(st.binary(max_size=300))
    def test_any_bytes_give_a_response_nothing_or_an_invalid_response_error(self, data: bytes) -> None:
        with contextlib.suppress(InvalidResponseError):
            self.codec_with_open_request().feed(data)
