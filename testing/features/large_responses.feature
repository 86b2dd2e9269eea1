Feature: Large responses stay in the zone of the entry
  Guards against transfers between zones that gain the caller nothing, and against a request that stays in a zone
  that cannot serve it.

  Scenario Outline: Pattern "a few slow targets at each moment": a <kind> goes to zone <zone> if its own zone <state>
    Given a gateway in zone a with targets whose own zone <state>, and free targets in zone b
    When a <kind> is sent to it 6 times
    Then all of them run in zone <zone>

    Examples: a lookup goes to the fastest target, a download rather stays
      | kind     | state                   | zone |
      | download | is free                 | a    |
      | lookup   | is free                 | a    |
      | download | is three times as slow  | a    |
      | lookup   | is three times as slow  | b    |
      | download | is ten times as slow    | b    |
      | download | is full                 | b    |
      | download | has no target           | b    |

  Scenario Outline: A slow target is good enough as long as it takes half of the objective at most
    Then with an objective of <objective> ms and a usual time of <typical> ms, a cost of <cost> is accepted for a large response

    Examples:
      | objective | typical | cost |
      | 4000      | 230     | 4.0  |
      | 1000      | 230     | 2.17 |
      | 400       | 230     | 1.35 |
      | 400       | 0       | 4.0  |
