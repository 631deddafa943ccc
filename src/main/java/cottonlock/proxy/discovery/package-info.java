/**
 * The list of backends: {@link cottonlock.proxy.discovery.EndpointListWatch} follows discovery,
 * {@link cottonlock.proxy.discovery.EndpointListParser} maps its messages to {@link
 * cottonlock.proxy.discovery.EndpointList}.
 */
package cottonlock.proxy.discovery;
