/** A stand-in and the port on which it is to listen. */
package dev.bronzeshore.standins

/** With [port] 0, the operating system chooses the port. */
internal class HostedServer(val standIn: StandIn, val port: Int)
