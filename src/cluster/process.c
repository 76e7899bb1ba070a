#include "cluster/process.h"

#include "base/log.h"
#include "base/metrics.h"
#include "net/http_service.h"

#include <execinfo.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

/** Interval at which a node that knows no other one reads its settings again. */
#define REREAD_INTERVAL_MS 1000
#define MAX_METRICS_BODY_BYTES 4096
#define MAX_LOGGED_FINDINGS 20
#define MAX_STACK_FRAMES 40

int process_open(struct process *process, enum setting_role role, int argc, char **argv,
                 struct settings *settings)
{
    struct findings findings = {0};
    enum status status = settings_read(role, argc, argv, settings, &findings);
    findings_print(&findings, stderr);
    findings_clear(&findings);
    if (status != STATUS_OK)
        return 2;
    process->settings = settings;
    process->role = role;
    process->argc = argc;
    process->argv = argv;
    log_init(settings->name, log_level_from_name(settings->log_level));
    return 0;
}

/* Prints the stack: it is the only information about a crash that a restart would lose. */
static void on_fatal_signal(int number)
{
    static const char text[] = "event=crashed, stack:\n";
    void *frames[MAX_STACK_FRAMES];
    int count = backtrace(frames, MAX_STACK_FRAMES);
    if (write(STDERR_FILENO, text, sizeof text - 1) > 0)
        backtrace_symbols_fd(frames, count, STDERR_FILENO);
    signal(number, SIG_DFL);
    raise(number);
}

static void install_fatal_signal_handlers(void)
{
    static const int numbers[] = {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL};
    for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
        signal(numbers[i], on_fatal_signal);
}

static void on_stop_signal(uv_signal_t *signal, int number)
{
    struct process *process = signal->data;
    log_event(LOG_LEVEL_INFO, "process", "stop", "signal=%d", number);
    process->stop(process);
}

static void log_refused_settings(const struct findings *findings)
{
    for (size_t i = 0; i < findings->count && i < MAX_LOGGED_FINDINGS; i++)
        log_event(LOG_LEVEL_ERROR, "process", "settings-refused", "place=\"%s\" problem=\"%s\"",
                  findings->items[i].place, findings->items[i].text);
}

static void log_changes(const struct settings_changes *changes)
{
    for (uint32_t i = 0; i < changes->applied_count; i++)
        log_event(LOG_LEVEL_INFO, "process", "setting-changed", "name=%s", changes->applied[i]);
    for (uint32_t i = 0; i < changes->kept_count; i++)
        log_event(LOG_LEVEL_WARN, "process", "setting-kept", "name=%s reason=needs-restart",
                  changes->kept[i]);
}

/* \param signal 0: without one, then only what has changed is logged */
static void reload(struct process *process, int signal)
{
    struct settings_changes changes;
    struct findings findings = {0};
    enum status status = settings_reload(process->role, process->argc, process->argv,
                                         process->settings, &changes, &findings);
    if (signal || changes.applied_count) {
        log_event(LOG_LEVEL_INFO, "process", "reload", "signal=%d valid=%d changed=%u kept=%u",
                  signal, status == STATUS_OK, changes.applied_count, changes.kept_count);
        log_refused_settings(&findings);
        log_changes(&changes);
    }
    findings_clear(&findings);
    if (changes.applied_count && process->reloaded)
        process->reloaded(process);
}

static void on_reload_signal(uv_signal_t *signal, int number)
{
    reload(signal->data, number);
}

static void on_reread(uv_timer_t *timer)
{
    struct process *process = timer->data;
    if (process->is_alone && process->is_alone(process))
        reload(process, 0);
}

static void start_rereading(struct process *process, uv_loop_t *loop)
{
    uv_timer_init(loop, &process->reread);
    process->reread.data = process;
    uv_timer_start(&process->reread, on_reread, REREAD_INTERVAL_MS, REREAD_INTERVAL_MS);
    uv_unref((uv_handle_t *)&process->reread);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *handle, int number, uv_signal_cb callback,
                         struct process *process)
{
    uv_signal_init(loop, handle);
    handle->data = process;
    uv_signal_start(handle, callback, number);
}

static void on_metrics_request(void *context, struct service_call *call,
                               const struct service_request *request)
{
    size_t size;
    const struct process *process = context;
    if (process->page && process->page(process->page_context, call, request))
        return;
    if (!service_path_is(request, "/metrics")) {
        service_reply(call, 404, NULL, NULL, 0);
        return;
    }
    metric_add(METRIC_LOG_LINES_LEFT_OUT, log_dropped() - metric_read(METRIC_LOG_LINES_LEFT_OUT));
    char *text = metrics_format_prometheus(&size);
    service_reply(call, 200, "text/plain; version=0.0.4", text, size);
    free(text);
}

static void start_metrics_service(struct process *process, uv_loop_t *loop)
{
    static const struct http_service_limits limits = {
        MAX_METRICS_BODY_BYTES, HTTP_SERVICE_IDLE_TIMEOUT_MS, HTTP_SERVICE_REQUEST_TIMEOUT_MS};
    struct sockaddr_in address;
    uv_ip4_addr(process->settings->address, (int)process->settings->metrics_port, &address);
    process->metrics = http_service_start(loop, &address, &limits, on_metrics_request, process);
    if (!process->metrics)
        log_event(LOG_LEVEL_WARN, "process", "metrics-failed", "port=%llu error=\"%s\"",
                  (unsigned long long)process->settings->metrics_port, status_message());
}

int process_run(struct process *process, uv_loop_t *loop, void (*stop)(struct process *process),
                void *context)
{
    process->stop = stop;
    process->context = context;
    signal(SIGPIPE, SIG_IGN);
    install_fatal_signal_handlers();
    watch_signal(loop, &process->terminate, SIGTERM, on_stop_signal, process);
    watch_signal(loop, &process->interrupt, SIGINT, on_stop_signal, process);
    watch_signal(loop, &process->reload, SIGHUP, on_reload_signal, process);
    start_rereading(process, loop);
    start_metrics_service(process, loop);
    log_event(LOG_LEVEL_INFO, "process", "start", "version=" SHUNTRUN_VERSION " address=%s zone=%s",
              process->settings->address, process->settings->zone);
    uv_run(loop, UV_RUN_DEFAULT);
    log_event(LOG_LEVEL_INFO, "process", "end", "status=0");
    return 0;
}

void process_log_findings(const struct findings *findings, bool usable, uint64_t revision)
{
    for (size_t i = 0; i < findings->count && i < MAX_LOGGED_FINDINGS; i++)
        log_event(LOG_LEVEL_ERROR, "config", usable ? "unreadable-part" : "refused",
                  "revision=%llu place=\"%s\" problem=\"%s\" problems=%zu",
                  (unsigned long long)revision, findings->items[i].place, findings->items[i].text,
                  findings->count);
}
