/** Golden files: recorded values that tests compare with the values that the code produces. */
package ferngrade.golden;
