package ferngrade.dispatch;

/**
 * A tenant: its share of the service, and the requests a second, over all dispatchers, inside that
 * share.
 */
public record Tenant(String name, double share, double allowance) {
  public Tenant {
    Preconditions.that(share >= 0, "Tenant.share", share);
    Preconditions.that(allowance >= 0, "Tenant.allowance", allowance);
  }
}
