/**
 * The program's entry point, signal handling and log manager. docs/ARCHITECTURE.md describes the
 * subpackages.
 */
package cottonlock;
