/**
 * What operators and control machines change in a running proxy, and the files that its processes
 * share.
 */
package cottonlock.proxy.control;
