package io.fuchsiastand.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/**
 * A request path for comparison with routes: as it was sent, and its segments, percent-decoded and without empty ones. Paths that
 * a backend server could interpret differently from the route table are refused, because the route decides which callers
 * are allowed.
 *
 * @param raw the path as it was sent
 * @param segments the decoded segments
 * @param endsWithSlash whether the path ends with a slash
 */
public record RequestPath(String raw, List<String> segments, boolean endsWithSlash) {

    private static final int MAX_SEGMENTS = 256;

    /**
     * Parses a request path.
     *
     * @param raw the path of the request target, without the query
     * @return the segments
     * @throws FuchsiastandException with {@link ErrorCode#BAD_PATH} if the path does not start with a slash, has too
     *     many segments, or contains dot segments, an encoded slash, a backslash, a control character or a broken
     *     percent-encoding
     */
    public static RequestPath parse(String raw) {
        if (!raw.startsWith("/")) {
            throw badPath("the path must start with /");
        }
        List<String> out = new ArrayList<>(8);
        int start = 1;
        while (start <= raw.length()) {
            int end = raw.indexOf('/', start);
            end = end < 0 ? raw.length() : end;
            if (end > start) {
                out.add(decodeSegment(raw.substring(start, end)));
            }
            start = end + 1;
        }
        if (out.size() > MAX_SEGMENTS) {
            throw badPath("the path has more than " + MAX_SEGMENTS + " segments");
        }
        return new RequestPath(raw, out, raw.endsWith("/"));
    }

    private static String decodeSegment(String raw) {
        String s = raw.indexOf('%') < 0 ? raw : decode(raw);
        // For the check of dot segments only, the path parameter (RFC 3986, section 3.3) is left out, so that
        // "..;a" counts as "..". Routes are compared with the whole segment.
        int parameter = s.indexOf(';');
        String name = parameter < 0 ? s : s.substring(0, parameter);
        if (name.equals(".") || name.equals("..")) {
            throw badPath("the path has dot segments");
        }
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c < ' ' || c == 0x7f || c == '/' || c == '\\') {
                throw badPath("the path has a character that servers interpret in different ways");
            }
        }
        return s;
    }

    private static String decode(String raw) {
        byte[] out = new byte[raw.length() * 3];
        int n = 0;
        for (int i = 0; i < raw.length(); i++) {
            char c = raw.charAt(i);
            if (c == '%') {
                if (i + 2 >= raw.length()) {
                    throw badPath("the path has a broken percent-encoding");
                }
                int high = Character.digit(raw.charAt(i + 1), 16);
                int low = Character.digit(raw.charAt(i + 2), 16);
                if (high < 0 || low < 0) {
                    throw badPath("the path has a broken percent-encoding");
                }
                out[n++] = (byte) (high << 4 | low);
                i += 2;
            } else {
                byte[] b = String.valueOf(c).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(b, 0, out, n, b.length);
                n += b.length;
            }
        }
        return new String(out, 0, n, StandardCharsets.UTF_8);
    }

    private static FuchsiastandException badPath(String detail) {
        return new FuchsiastandException(ErrorCode.BAD_PATH, detail);
    }
}
