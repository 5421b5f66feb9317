package ferngrade.emulator;

/**
 * One tenant: its share of the service, and its part of the arrivals in proportion to the other
 * tenants'.
 */
public final class TenantSpec {
  public String name = "tenant";
  public double share = 1;
  public double usage = 1;

  /** A tenant with nothing set. */
  public TenantSpec() {}

  /** A tenant that uses its share. */
  public TenantSpec(String name, double share) {
    this.name = name;
    this.share = share;
    this.usage = share;
  }
}
