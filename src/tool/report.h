/**
 * `shuntrun report`: reports error-budget burn rates from running gateways or from a recording.
 */
#ifndef SHUNTRUN_REPORT_H
#define SHUNTRUN_REPORT_H

/** \return exit status of the process */
int report_main(int argc, char **argv);

#endif
