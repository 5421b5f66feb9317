package ferngrade.emulator;

/**
 * Specifies a tenant. {@code share} is the tenant's share of the service; {@code usage} is the
 * weight by which arrivals are distributed among the tenants.
 */
public final class TenantSpec {
  public String name = "tenant";
  public double share = 1;
  public double usage = 1;

  /** Creates a tenant with default values. */
  public TenantSpec() {}

  /** Creates a tenant whose usage equals its share. */
  public TenantSpec(String name, double share) {
    this.name = name;
    this.share = share;
    this.usage = share;
  }
}
