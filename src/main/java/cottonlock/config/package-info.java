/**
 * Reads configuration files, TOML and JSON, into checked values. A file's faults are reported
 * together, each with file, line, key and what was expected. {@code serve} without an operator's
 * file loads no class of this package.
 */
package cottonlock.config;
