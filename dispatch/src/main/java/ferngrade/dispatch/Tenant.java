package ferngrade.dispatch;

/**
 * A tenant of the service.
 *
 * @param share weight of the tenant when slots are scarce
 * @param allowance requests per second, summed over all dispatchers, that the tenant's share covers
 */
public record Tenant(String name, double share, double allowance) {
  public Tenant {
    Preconditions.checkRange(share >= 0, "Tenant.share", share);
    Preconditions.checkRange(allowance >= 0, "Tenant.allowance", allowance);
  }
}
