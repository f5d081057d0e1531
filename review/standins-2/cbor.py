"""The part of CBOR that the protocol uses: maps, lists, text, numbers, booleans and null."""
import struct


def _head(major, n, out):
    if n < 24:
        out.append(major << 5 | n)
    elif n < 1 << 8:
        out += bytes((major << 5 | 24, n))
    elif n < 1 << 16:
        out.append(major << 5 | 25)
        out += struct.pack(">H", n)
    elif n < 1 << 32:
        out.append(major << 5 | 26)
        out += struct.pack(">I", n)
    else:
        out.append(major << 5 | 27)
        out += struct.pack(">Q", n)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        if value >= 0:
            _head(0, value, out)
        else:
            _head(1, -1 - value, out)
    elif isinstance(value, float):
        out.append(0xFB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(f"cannot encode {type(value)}")


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


class _Reader:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, n):
        if self.at + n > len(self.data):
            raise ValueError("truncated CBOR")
        part = self.data[self.at:self.at + n]
        self.at += n
        return part

    def item(self):
        first = self.take(1)[0]
        major, info = first >> 5, first & 31
        if major == 7:
            if info == 20:
                return False
            if info == 21:
                return True
            if info in (22, 23):
                return None
            if info == 25:
                return struct.unpack(">e", self.take(2))[0]
            if info == 26:
                return struct.unpack(">f", self.take(4))[0]
            if info == 27:
                return struct.unpack(">d", self.take(8))[0]
            if info == 31:
                return _BREAK
            raise ValueError("unsupported CBOR")
        if info < 24:
            n = info
        elif info == 24:
            n = self.take(1)[0]
        elif info == 25:
            n = struct.unpack(">H", self.take(2))[0]
        elif info == 26:
            n = struct.unpack(">I", self.take(4))[0]
        elif info == 27:
            n = struct.unpack(">Q", self.take(8))[0]
        elif info == 31:
            n = None
        else:
            raise ValueError("unsupported CBOR")
        if major == 0:
            return n
        if major == 1:
            return -1 - n
        if major in (2, 3):
            if n is None:
                parts = []
                while (part := self.item()) is not _BREAK:
                    parts.append(part)
                return "".join(parts)
            data = self.take(n)
            return bytes(data).decode() if major == 3 else bytes(data)
        if major == 4:
            items = []
            while n is None or len(items) < n:
                item = self.item()
                if item is _BREAK:
                    break
                items.append(item)
            return items
        if major == 5:
            result = {}
            count = 0
            while n is None or count < n:
                key = self.item()
                if key is _BREAK:
                    break
                result[key] = self.item()
                count += 1
            return result
        return self.item()  # A tag: its content counts.


_BREAK = object()


def decode(data):
    reader = _Reader(data)
    value = reader.item()
    if reader.at != len(data):
        raise ValueError("bytes after the message")
    return value
