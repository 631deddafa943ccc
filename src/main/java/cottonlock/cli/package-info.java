/**
 * The command line: one class for each command. {@code serve} without an operator's file and {@code
 * wirehost} start without it, see {@link cottonlock.Main}.
 */
package cottonlock.cli;
