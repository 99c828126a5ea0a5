package review3;

/** Pauses the calling thread. */
final class Sleep {
    private Sleep() {}

    static void millis(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
