package cottonlock.config;

import java.util.List;
import java.util.Map;

/** A value of a configuration file, of one of the types that TOML and JSON share. */
sealed interface ConfigurationValue {
    /** Named values in the order of the file; {@link ConfigurationDocument#set} may change them. */
    record Table(Map<String, ConfigurationDocument> entries) implements ConfigurationValue {
        @Override
        public String describe() {
            return "a table";
        }
    }

    /** Values in the order of the file; {@link ConfigurationDocument#set} may change them. */
    record Array(List<ConfigurationDocument> items) implements ConfigurationValue {
        @Override
        public String describe() {
            return "a list";
        }
    }

    /** A string; also represents JSON's null (as an empty string) and TOML's dates and times. */
    record Text(String text) implements ConfigurationValue {
        @Override
        public String describe() {
            return "\"" + text + "\"";
        }

        @Override
        public String plainText() {
            return text;
        }
    }

    /** A boolean. */
    record Flag(boolean value) implements ConfigurationValue {
        @Override
        public String describe() {
            return Boolean.toString(value);
        }
    }

    /** An integer of up to 64 bits. */
    record WholeNumber(long value) implements ConfigurationValue {
        @Override
        public String describe() {
            return Long.toString(value);
        }
    }

    /** Any other number. */
    record DecimalNumber(double value) implements ConfigurationValue {
        @Override
        public String describe() {
            return Double.toString(value);
        }
    }

    /** Returns the value as shown in error messages; a string is quoted. */
    String describe();

    /** Returns the value as shown in reports; a string is not quoted. */
    default String plainText() {
        return describe();
    }
}
