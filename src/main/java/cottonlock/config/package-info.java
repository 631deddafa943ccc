/**
 * Reads configuration files in TOML and JSON and checks their values. All faults of a file are
 * reported together, each with file, line, key and what was expected. {@code serve} without an
 * operator's file loads no class of this package.
 */
package cottonlock.config;
