package io.fuchsiastand.error;

/** An error with an {@link ErrorCode}. */
public class FuchsiastandException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an error.
     *
     * @param code the error code
     * @param detail a description of the error and, where possible, of its remedy
     */
    public FuchsiastandException(ErrorCode code, String detail) {
        this(code, detail, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param code the error code
     * @param detail a description of the error and, where possible, of its remedy
     * @param cause the cause, or null
     */
    public FuchsiastandException(ErrorCode code, String detail, Throwable cause) {
        super(detail, cause);
        this.code = code;
    }

    /**
     * Creates an error that may omit its stack trace. Subclasses for frequent, expected errors omit it to save time.
     *
     * @param code the error code
     * @param detail a description of the error and, where possible, of its remedy
     * @param cause the cause, or null
     * @param recordStackTrace whether the exception records its stack trace and suppressed exceptions
     */
    protected FuchsiastandException(ErrorCode code, String detail, Throwable cause, boolean recordStackTrace) {
        super(detail, cause, recordStackTrace, recordStackTrace);
        this.code = code;
    }

    /**
     * Returns the error code.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return code;
    }
}
