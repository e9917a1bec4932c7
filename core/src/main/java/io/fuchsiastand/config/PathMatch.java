package io.fuchsiastand.config;

/** How the path prefix of a route is compared with the path of a request. */
public enum PathMatch {
    /**
     * By whole segments, percent-decoded and without empty ones, so that a path cannot evade a route by another spelling that a
     * backend server reads in the same way.
     */
    SEGMENTS,
    /** Character by character, for prefixes that end with a slash. */
    LITERAL
}
