package io.fuchsiastand.http;

import io.netty.buffer.ByteBuf;

/**
 * Counts the lines of a header or trailer section that has not ended. The decoder does not tell where in the received bytes
 * the section begins, so the count starts again after each line that can precede a section: an empty line, which ends a
 * message, and one that begins with "0", which announces the last chunk.
 */
final class SectionLines {

    private int count;
    private int countSinceStart;
    private boolean startSeen;
    private int lineLength;
    private boolean zeroFirst;

    /**
     * Counts the lines of the next bytes.
     *
     * @param bytes the bytes; the reader and writer indexes of the buffer do not change
     */
    void scan(ByteBuf bytes) {
        startSeen = false;
        for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
            byte b = bytes.getByte(i);
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                zeroFirst |= lineLength == 0 && b == '0';
                lineLength++;
            }
        }
    }

    /** Restarts the count at the last possible start of a section in the bytes that were scanned last. */
    void partEnded() {
        count = startSeen ? countSinceStart : 0;
    }

    /**
     * Returns the number of lines.
     *
     * @return the lines since the start of the section
     */
    int count() {
        return count;
    }

    private void endLine() {
        count++;
        countSinceStart++;
        if (lineLength == 0 || zeroFirst) {
            startSeen = true;
            countSinceStart = 0;
        }
        lineLength = 0;
        zeroFirst = false;
    }
}
