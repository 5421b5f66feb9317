/** Golden files: recorded values that tests compare with what the code writes today. */
package ferngrade.golden;
