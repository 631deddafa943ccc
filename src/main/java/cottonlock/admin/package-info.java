/**
 * The management interface of one process: its listener, its commands and the metrics that it
 * reports. docs/operators.md describes both for operators.
 */
package cottonlock.admin;
