/* A wyorderd process beside a stand-in of the store, which runs on the loop of
   the test.  */
#ifndef WY_TESTS_ORDERER_PROCESS_H
#define WY_TESTS_ORDERER_PROCESS_H

#include "support/platform_fixture.h"

struct orderer_process
{
  struct platform_fixture w;
  GPid pid;
  uint16_t metrics_port;
  char *dir;
};

void orderer_process_init (struct orderer_process *p);
void orderer_process_start (struct orderer_process *p, uint16_t target_port,
                            uint32_t descriptors);
bool orderer_process_lives (const struct orderer_process *p);
char *orderer_process_await_metrics (struct orderer_process *p);
void orderer_process_stop (struct orderer_process *p);

#endif
