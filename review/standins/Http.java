import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

    /** A message: its first line, its fields with names in lower case, and its body. */
    record Message(String firstLine, Map<String, String> fields, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    private Http() {}

    /** Reads a message, or returns null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String l = line(in, false); !l.isEmpty(); l = line(in, false)) {
            int colon = l.indexOf(':');
            fields.put(l.substring(0, colon).strip().toLowerCase(), l.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (fields.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            for (int n = chunkSize(in); n > 0; n = chunkSize(in)) {
                body.write(exactly(in, n));
                line(in, false);
            }
            while (!line(in, false).isEmpty()) {
                // a trailer field
            }
        } else if (fields.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(fields.get("content-length"))));
        } else if (response) {
            in.transferTo(body);
        }
        return new Message(first, fields, body.toByteArray());
    }

    /** Sends a request on a new connection and returns the answer; a timeout of the socket ends the wait. */
    static Message call(String host, int port, String request, int timeoutMillis) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(host, port), 1000);
            s.setSoTimeout(timeoutMillis);
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().flush();
            Message m = read(s.getInputStream(), true);
            if (m == null) {
                throw new EOFException("the connection was closed without an answer");
            }
            return m;
        }
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].strip(), 16);
    }

    private static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] out = in.readNBytes(n);
        if (out.length < n) {
            throw new EOFException("the body ended early");
        }
        return out;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (mayEnd && out.length() == 0) {
                    return null;
                }
                throw new EOFException("the message ended early");
            }
            if (c != '\r') {
                out.append((char) c);
            }
        }
        return out.toString();
    }
}
