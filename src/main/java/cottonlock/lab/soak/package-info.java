/**
 * A soak of restarts: real processes of the proxy that are reloaded, stopped and killed in all
 * orders while clients use their connections until the last moment.
 */
package cottonlock.lab.soak;
