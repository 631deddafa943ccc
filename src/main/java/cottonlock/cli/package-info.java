/**
 * The command line: one class for each command. {@code serve} without an operator's file and {@code
 * wirehost} start without loading this package, see {@link cottonlock.Main}.
 */
package cottonlock.cli;
