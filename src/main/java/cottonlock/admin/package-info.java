/** Where operators call: the management listener and the figures that it tells. */
package cottonlock.admin;
