/**
 * The unit of time and the annotation of deterministic classes, shared by all packages that make
 * decisions.
 */
package cottonlock.core;
