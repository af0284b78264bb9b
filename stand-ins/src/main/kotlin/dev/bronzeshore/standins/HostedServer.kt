/** A stand-in with the port it asks for. */
package dev.bronzeshore.standins

/** [port] 0 lets the system choose. */
internal class HostedServer(val standIn: StandIn, val port: Int)
