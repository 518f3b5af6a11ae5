#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int ArgCount, char **Args) {
  // rapidcheck allocates through the global operators across translation units,
  // which the leak detector's overloads report as mismatched.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(ArgCount, Args);
}
