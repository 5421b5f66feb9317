/** Keeps tests that are known to fail, listed with their cause, from failing the build. */
package ferngrade.knownfailures;
