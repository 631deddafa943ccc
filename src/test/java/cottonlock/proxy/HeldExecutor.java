package cottonlock.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/** Keeps tasks back until a test releases them; further ones run at once. */
final class HeldExecutor implements Executor {
    private final Executor target;
    private final List<Runnable> held = new ArrayList<>();
    private boolean released;

    HeldExecutor(Executor target) {
        this.target = target;
    }

    @Override
    public synchronized void execute(Runnable task) {
        if (released) {
            target.execute(task);
        } else {
            held.add(task);
        }
    }

    /** Keeps tasks back from now on. */
    synchronized void hold() {
        released = false;
    }

    synchronized void release() {
        released = true;
        held.forEach(target::execute);
        held.clear();
    }
}
