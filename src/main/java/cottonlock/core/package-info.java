/**
 * What every package that decides shares: the unit of time and the mark of classes that decide
 * without I/O.
 */
package cottonlock.core;
