#pragma once

#include "deployment.h"

namespace review {

// Exit statuses of a case.
constexpr int HELD = 0;
constexpr int BROKEN = 1;

int runDeadlyRequest(Deployment& it);
int runEndlessTrailers(Deployment& it);
int runOpenBodies(Deployment& it);
int runAdditionalBytes(Deployment& it);
int runRestoredStore(Deployment& it);

}
