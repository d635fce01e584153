#pragma once

#include "deployment.h"

namespace review {

// Exit statuses of a case.
constexpr int HELD = 0;
constexpr int BROKEN = 1;

int runDeadlyRequest(Deployment& it);
int runSlowReader(Deployment& it);
int runLargeBodies(Deployment& it);
int runLateCopy(Deployment& it);

}
