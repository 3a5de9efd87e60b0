"""A small HTTP/1.1 server with JSON bodies, for the stand-ins."""

import json
import socket
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"


class Server(ThreadingHTTPServer):
    """Serves each connection on a thread of its own."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that their clients have broken."""


def build_server(answer, port=0):
    """Return a server for `answer(method, path, query, headers, body)`.

    `answer` returns a status and a JSON object; None closes the connection
    without an answer.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def handle_call(self):
            length = int(self.headers.get("Content-Length") or 0)
            data = self.rfile.read(length)
            parts = urlsplit(self.path)
            result = answer(
                self.command,
                parts.path,
                dict(parse_qsl(parts.query)),
                self.headers,
                json.loads(data) if data else {},
            )
            if result is None:
                self.close_connection = True
                self.connection.shutdown(socket.SHUT_RDWR)
                return
            status, fields = result
            body = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()

        do_GET = do_POST = do_PUT = do_DELETE = handle_call

        def log_message(self, *args):
            pass

    return Server((HOST, port), Handler)
