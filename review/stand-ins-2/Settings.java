/** The settings of a small deployment, with names and units of the operators' wire page. */
final class Settings {
    private Settings() {}

    /** One category; times in milliseconds. */
    static String category(String name, long due, long expiry, String repeat, String rest) {
        return "{\"Name\":\""
                + name
                + "\",\"DueTime\":"
                + due * 1_000
                + ",\"Expiry\":"
                + expiry * 1_000
                + ",\"Credit\":1.0,\"LateCredit\":0.0,\"Repeat\":\""
                + repeat
                + "\",\"Stream\":false"
                + rest
                + "}";
    }

    /** All settings; the obligations are given without their braces. */
    static String of(
            String categories, int fleetSize, double quota, String mode, String obligations) {
        return "{\"Categories\":["
                + categories
                + "],\"Projects\":[{\"Name\":\"acme\",\"Share\":1.0,\"QuotaRps\":"
                + quota
                + "}],\"Zones\":[\"a\",\"b\"],\"Flavors\":[\"std\"],\"Tiers\":[\"front\"],"
                + "\"Stage\":0,\"Me\":0,\"FleetSize\":"
                + fleetSize
                + ",\"Workload\":\"chain\",\"WeightKind\":\"nominal\",\"MembershipMode\":\""
                + mode
                + "\",\"Limits\":{\"MaxHandOffs\":3,\"Cancel\":true,\"RetryAfter\":true,"
                + "\"MaxRetryAfter\":2000000,\"ConnectTimeout\":150000,\"ConnIdle\":60000000,"
                + "\"Multiplex\":1,\"PeerMessages\":false,\"Probes\":false,"
                + "\"SecondCopies\":false,\"MaxOpen\":20000},"
                + "\"Telemetry\":{\"How\":\"off\",\"Fields\":[]},"
                + "\"Obligations\":{\"AnswerSlack\":20000,"
                + obligations
                + "}}";
    }

    /** The figures of the rules in the brief of kantor-central. */
    static final String KANTOR =
            "\"AskWithin\":10000000,\"DrainGrace\":1500000,\"Cold\":8700000,\"ColdShare\":0.35,"
                    + "\"Fall\":3000000,\"FallMultiple\":3.0";
}
