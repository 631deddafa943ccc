/**
 * The program's entry point and its process signals. docs/ARCHITECTURE.md describes the packages
 * below.
 */
package cottonlock;
