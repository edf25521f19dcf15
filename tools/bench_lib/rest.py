"""JSON over HTTP to stand-ins and operator ports."""

import http.client
import json


class RestError(Exception):
    def __init__(self, status, body):
        super().__init__(f"{status}: {body[:300]}")
        self.status = status


def call(port, method, path, body=None, headers=None, timeout=10):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        if response.status >= 300:
            raise RestError(response.status, text)
        return json.loads(text) if text.startswith(("{", "[")) else text
    finally:
        connection.close()


class Client:
    """One kept connection, for polling."""

    def __init__(self, port, timeout=2):
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=timeout)

    def get(self, path):
        """The answer's JSON, or None where there is none."""
        try:
            self.connection.request("GET", path)
            return json.loads(self.connection.getresponse().read())
        except (OSError, http.client.HTTPException, ValueError):
            self.connection.close()
            return None
