/** Time source, passed in as a dependency so that tests can control it. */
package dev.bronzeshore.core

/** Returns the current wall-clock time in milliseconds since the Unix epoch. */
public typealias ClockMs = () -> Long
