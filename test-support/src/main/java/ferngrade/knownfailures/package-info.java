/** Skips tests that are listed as known failures, so that they do not fail the build. */
package ferngrade.knownfailures;
