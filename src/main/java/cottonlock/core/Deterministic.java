package cottonlock.core;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a class that decides something: it takes time and chance as arguments and knows no input or
 * output, clock, thread, lock or logger. A test reads the mark from the compiled class; nothing
 * loads it in service.
 */
@Retention(RetentionPolicy.CLASS)
@Target(ElementType.TYPE)
public @interface Deterministic {}
