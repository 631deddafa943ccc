package cottonlock.core;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a class whose behaviour depends only on its arguments: it receives the time and random
 * generators from its caller and uses no input or output, clock, thread, lock or logger. An
 * architecture test reads the annotation from the compiled class; it is not available at run time.
 */
@Retention(RetentionPolicy.CLASS)
@Target(ElementType.TYPE)
public @interface Deterministic {}
