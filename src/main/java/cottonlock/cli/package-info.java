/**
 * The command line. {@code serve} and {@code wirehost} by themselves never come here: they start as
 * before.
 */
package cottonlock.cli;
