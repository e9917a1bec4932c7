package io.fuchsiastand.daemon.http;

import io.netty.buffer.ByteBuf;

/**
 * Detects requests that have both Content-Length and Transfer-Encoding, so that the length of the body is ambiguous (RFC
 * 9112, section 6.3). The scanner reads the raw bytes, because ServiceTalk removes Content-Length from such a request
 * before a service receives it.
 */
final class FramingFieldScanner {

    private static final String[] FRAMING_FIELDS = {"content-length:", "transfer-encoding:"};

    private final boolean[] fieldSeen = new boolean[FRAMING_FIELDS.length];
    // The first characters of the current line in lower case, as many as the longest name in FRAMING_FIELDS has.
    private final StringBuilder linePrefix = new StringBuilder();
    private int lineLength;
    private long length;
    private boolean requestLineSeen;
    private boolean complete;

    /** Resets the scanner before the first byte of a request. */
    void reset() {
        fieldSeen[0] = false;
        fieldSeen[1] = false;
        linePrefix.setLength(0);
        lineLength = 0;
        length = 0;
        requestLineSeen = false;
        complete = false;
    }

    /**
     * Scans the next bytes of a request, up to the empty line that ends the header fields.
     *
     * @param bytes the bytes that arrived; the reader and writer indexes of the buffer do not change
     */
    void scan(ByteBuf bytes) {
        for (int i = bytes.readerIndex(); i < bytes.writerIndex() && !complete; i++) {
            byte b = bytes.getByte(i);
            length++;
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                lineLength++;
                if (lineLength <= FRAMING_FIELDS[1].length()) {
                    linePrefix.append((char) Character.toLowerCase(b & 0xff));
                }
            }
        }
    }

    /**
     * Returns the number of bytes of the request line and the header fields that have arrived.
     *
     * @return the number of bytes, line ends included
     */
    long length() {
        return length;
    }

    private void endLine() {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        complete = requestLineSeen && lineLength == 0;
        requestLineSeen |= lineLength > 0;
        for (int i = 0; i < FRAMING_FIELDS.length; i++) {
            fieldSeen[i] |= linePrefix.indexOf(FRAMING_FIELDS[i]) == 0;
        }
        linePrefix.setLength(0);
        lineLength = 0;
    }

    /**
     * Returns whether the length of the body is ambiguous.
     *
     * @return true if the scanned bytes contain both Content-Length and Transfer-Encoding
     */
    boolean isAmbiguous() {
        return fieldSeen[0] && fieldSeen[1];
    }
}
