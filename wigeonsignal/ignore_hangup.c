#include <signal.h>

/*
 * Runs before the Go runtime starts. The runtime keeps SIGHUP ignored if it finds it ignored, and installs its handler when the
 * program calls signal.Notify.
 */
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
