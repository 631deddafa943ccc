/**
 * Typed configuration: the settings of a load balancer and the operator's configuration, and the
 * factory that builds a load balancer from them. Files are read elsewhere, in {@code
 * cottonlock.config} and {@code cottonlock.proxy}.
 */
package cottonlock.setup;
